export default {
  files: ['dist/**/*.spec.js'],
  nodeArguments: ['--enable-source-maps'],
  timeout: '3m',
  concurrency: 4,
};
