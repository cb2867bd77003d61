// Tests that measure the memory and descriptors of a process; each runs alone.
export default {
  files: ['dist/**/*.crowd.spec.js'],
  nodeArguments: ['--enable-source-maps'],
  timeout: '5m',
  concurrency: 1,
};
