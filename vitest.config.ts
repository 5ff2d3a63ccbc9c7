import * as config from 'vitest/config';

const CROWD_TESTS = 'platform/test/crowd/**/*.test.ts';

export default config.defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
    projects: [
      {
        extends: true,
        test: { name: 'parallel', include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'], exclude: [CROWD_TESTS, '**/node_modules/**'] },
      },
      // A crowd of clients loads the machine, and its tests measure a process: they run after all others, one at a time.
      {
        extends: true,
        test: {
          name: 'crowd', include: [CROWD_TESTS], fileParallelism: false, sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
