import * as fs from 'node:fs';
import * as airbnb from 'eslint-config-airbnb-extended';
import * as tseslint from 'typescript-eslint';

const TIMER_MESSAGE = 'Subscribe to the timer service instead.';

// The verbs stand in the style page, so that the page and the linter cannot differ.
const VERB_SECTION = fs.readFileSync(`${import.meta.dirname}/docs/style.md`, 'utf8').split('## Verbs')[1].split('## ')[0];
const VERBS = [...VERB_SECTION.matchAll(/`([a-z]+)`/g)].map((match) => match[1]);
const VERB_NAME = `^(?:${VERBS.join('|')})(?:[A-Z0-9]\\w*)?$`;

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] },
  airbnb.plugins.stylistic,
  airbnb.plugins.importX,
  airbnb.plugins.typescriptEslint,
  ...airbnb.configs.base.recommended,
  ...airbnb.configs.base.typescript,
  // Rules that need type information are left to tsc --strict; they made linting slower than the tests.
  tseslint.configs.disableTypeChecked,
  {
    linterOptions: { reportUnusedDisableDirectives: 'error' },
    rules: {
      // ESLint resolves the built output of the workspace packages, which does not exist on a clean clone; tsc checks imports.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-cycle': 'off',
      'import-x/no-useless-path-segments': 'off',
      // The brief asks for namespace imports, which goes before the Airbnb rule.
      'import-x/no-namespace': 'off',
      'import-x/namespace': 'off',
      'class-methods-use-this': 'off',
      'no-underscore-dangle': 'off',
      'no-void': 'off',
      'max-classes-per-file': ['error', 1],
      '@stylistic/max-len': ['error', {
        code: 140, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true,
      }],
      // A comment on the first member of a union stands between the equals sign and the member.
      '@stylistic/operator-linebreak': ['error', 'before', { overrides: { '=': 'ignore' } }],
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a string union.' },
        { selector: 'ThrowStatement > NewExpression[callee.name="Error"]', message: 'Use a typed failure.' },
        { selector: 'ForInStatement', message: 'Use Object.keys and array methods.' },
        { selector: `MethodDefinition[kind="method"] > Identifier.key:not([name=/${VERB_NAME}/])`, message: 'Begin the name with a verb of docs/style.md.' },
        { selector: `TSAbstractMethodDefinition[kind="method"] > Identifier.key:not([name=/${VERB_NAME}/])`, message: 'Begin the name with a verb of docs/style.md.' },
        { selector: `FunctionDeclaration > Identifier.id:not([name=/${VERB_NAME}/])`, message: 'Begin the name with a verb of docs/style.md.' },
        { selector: 'ImportDeclaration[importKind!="type"] > ImportSpecifier', message: 'Use a namespace import.' },
      ],
      'no-restricted-globals': [
        'error',
        ...['setTimeout', 'setInterval', 'setImmediate', 'clearTimeout', 'clearInterval', 'Date', 'performance'].map((name) => ({ name, message: TIMER_MESSAGE })),
      ],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random', message: 'Use the random source.' }],
    },
  },
  { files: ['packages/core/src/time/**'], rules: { 'no-restricted-globals': 'off' } },
  {
    files: ['packages/operator/assets/*.js'],
    languageOptions: {
      globals: {
        document: 'readonly', fetch: 'readonly', FormData: 'readonly', URLSearchParams: 'readonly',
      },
    },
  },
  { files: ['.ci/*.js'], languageOptions: { globals: { process: 'readonly' } } },
  { files: ['vitest.config.ts', 'eslint.config.js'], rules: { 'no-restricted-syntax': 'off' } },
);
