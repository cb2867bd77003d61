import test from 'ava';
import { Lifecycle, LifecycleError, LifecycleErrorCode } from './index.js';

test('resources and child lifecycles are released in reverse order of registration', async (t) => {
  const order: string[] = [];
  const parent = new Lifecycle('parent');
  parent.own('first', () => void order.push('first'));
  parent.child('child').own('inner', () => void order.push('inner'));
  parent.own('last', () => void order.push('last'));
  await parent.close();
  t.deepEqual(order, ['last', 'inner', 'first']);
});

test('a resource that fails to close does not prevent the release of the others', async (t) => {
  const order: string[] = [];
  const lifecycle = new Lifecycle('x');
  lifecycle.own('a', () => void order.push('a'));
  lifecycle.own('b', () => Promise.reject(new Error('stuck')));
  const err = await t.throwsAsync(() => lifecycle.close(), { instanceOf: LifecycleError });
  t.is(err.code, LifecycleErrorCode.CloseFailed);
  t.deepEqual(order, ['a']);
});

test('registering a resource on a closed lifecycle throws', async (t) => {
  const lifecycle = new Lifecycle('x');
  await lifecycle.close();
  t.throws(() => lifecycle.own('late', () => undefined), { instanceOf: LifecycleError });
});

test('a child that was closed directly is not closed again by its parent', async (t) => {
  let released = 0;
  const parent = new Lifecycle('parent');
  const child = parent.child('child');
  child.own('resource', () => void (released += 1));
  await child.close();
  await parent.close();
  t.is(released, 1);
});

test('a child that fails to close reports the failure once and not through its parent', async (t) => {
  const parent = new Lifecycle('parent');
  const child = parent.child('child');
  child.own('resource', () => Promise.reject(new Error('stuck')));
  await t.throwsAsync(() => child.close(), { instanceOf: LifecycleError });
  await t.notThrowsAsync(() => parent.close());
});
