/** The tests, but for those that need the machine to themselves. */
export default {
  files: [
    'packages/*/dist/**/__tests__/*.spec.js',
    'platform/dist/**/__tests__/*.spec.js',
  ],
  timeout: '120s',
  concurrency: 6,
};
