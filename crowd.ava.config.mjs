/** The tests that start crowds of clients, one after the other. */
export default {
  files: [
    'packages/*/dist/**/__tests__/crowd/*.spec.js',
    'platform/dist/**/__tests__/crowd/*.spec.js',
  ],
  timeout: '120s',
  concurrency: 1,
};
