import gts from 'gts';

/** What `core` may not touch: time, chance and the outside come in as arguments. */
const ambientGlobals = [
  'Date',
  'process',
  'setTimeout',
  'setInterval',
  'setImmediate',
  'fetch',
  'performance',
  'crypto',
  'console',
];

export default [
  {ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**']},
  ...gts,
  {files: ['*.js'], languageOptions: {sourceType: 'module'}},
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {sourceType: 'module', parserOptions: {project: null}},
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'off',
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
    },
  },
  {
    files: ['packages/core/src/**/*.ts', 'packages/shared/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-globals': ['error', ...ambientGlobals],
      'no-restricted-properties': [
        'error',
        {
          object: 'Math',
          property: 'random',
          message: 'take random bits as an argument',
        },
      ],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['node:*', '!node:crypto', '!node:util'],
              message: 'core does no input or output',
            },
          ],
        },
      ],
    },
  },
];
