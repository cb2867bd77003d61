export default {
  files: ['dist/**/*.spec.js', '!dist/**/*.crowd.spec.js'],
  nodeArguments: ['--enable-source-maps'],
  timeout: '3m',
  concurrency: 4,
};
