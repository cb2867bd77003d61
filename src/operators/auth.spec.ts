import test from 'ava';
import { isAuthorized } from './index.js';

const cases = [
  { title: 'the expected token', header: 'Bearer secret', isAllowed: true },
  { title: 'a scheme in another case', header: 'bearer secret', isAllowed: true },
  { title: 'a wrong token', header: 'Bearer secreT', isAllowed: false },
  {
    title: 'a token that starts with the expected one',
    header: 'Bearer secret2',
    isAllowed: false,
  },
  { title: 'an empty token', header: 'Bearer ', isAllowed: false },
  { title: 'another scheme', header: 'Basic secret', isAllowed: false },
  { title: 'no header', header: undefined, isAllowed: false },
];

// Guards against an operator listener that accepts requests without the expected token.
for (const { title, header, isAllowed } of cases) {
  test(`${title} is ${isAllowed ? 'accepted' : 'rejected'}`, (t) => {
    t.is(isAuthorized(header, 'secret'), isAllowed);
  });
}
