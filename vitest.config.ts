import * as config from 'vitest/config';

export default config.defineConfig({
  test: {
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
  },
});
