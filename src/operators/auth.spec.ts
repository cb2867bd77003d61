import test from 'ava';
import { isAuthorized } from './index.js';

const cases = [
  { title: 'the right token', header: 'Bearer secret', isAllowed: true },
  { title: 'another case of the scheme', header: 'bearer secret', isAllowed: true },
  { title: 'a wrong token', header: 'Bearer secreT', isAllowed: false },
  { title: 'a token that starts with the right one', header: 'Bearer secret2', isAllowed: false },
  { title: 'an empty token', header: 'Bearer ', isAllowed: false },
  { title: 'another scheme', header: 'Basic secret', isAllowed: false },
  { title: 'no header', header: undefined, isAllowed: false },
];

// Guards against an operator listener that lets in whoever does not know the token.
for (const { title, header, isAllowed } of cases) {
  test(`${title} is ${isAllowed ? 'accepted' : 'refused'}`, (t) => {
    t.is(isAuthorized(header, 'secret'), isAllowed);
  });
}
