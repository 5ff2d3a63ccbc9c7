import * as airbnb from 'eslint-config-airbnb-extended';
import * as tseslint from 'typescript-eslint';

const TIMER_MESSAGE = 'Subscribe to the timer service instead.';

// Verbs that may begin a function or method name; docs/style.md lists them with their meaning.
const VERBS = [
  'accept', 'acquire', 'add', 'admit', 'advance', 'answer', 'append', 'apply', 'arm', 'ask', 'assert', 'assign', 'await',
  'begin', 'bind', 'build', 'cancel', 'check', 'choose', 'clear', 'clone', 'close', 'collect', 'compare', 'complete', 'compute',
  'connect', 'consume', 'convert', 'copy', 'count', 'create', 'cut', 'decide', 'decode', 'define', 'deliver', 'describe', 'digest', 'discard',
  'dispatch', 'drain', 'draw', 'drop', 'eject', 'emit', 'encode', 'end', 'enqueue', 'estimate', 'evaluate', 'exclude', 'exit',
  'expect', 'expire', 'export', 'fail', 'fetch', 'fill', 'filter', 'find', 'finish', 'fire', 'flush', 'follow', 'format', 'forward', 'freeze', 'from',
  'generate', 'get', 'handle', 'has', 'hash', 'hedge', 'import', 'include', 'increment', 'inject', 'insert', 'is', 'issue',
  'join', 'keep', 'kill', 'limit', 'list', 'listen', 'load', 'log', 'make', 'map', 'mark', 'match', 'measure', 'merge', 'move',
  'needs', 'notify', 'observe', 'offer', 'open', 'order', 'parse', 'pause', 'peek', 'pick', 'plan', 'poll', 'pop', 'post', 'print', 'probe', 'project',
  'prune', 'publish', 'push', 'rank', 'read', 'receive', 'record', 'recover', 'refill', 'refuse', 'register', 'reinstate', 'reject', 'relay', 'release',
  'remove', 'render', 'replay', 'reply', 'report', 'request', 'require', 'reset', 'resolve', 'respond', 'restart', 'resume', 'retry', 'return',
  'rotate', 'route', 'run', 'sample', 'scale', 'schedule', 'score', 'seal', 'select', 'send', 'serve', 'set', 'settle', 'shed', 'should', 'show', 'shuffle', 'shutdown',
  'sign', 'simulate', 'sort', 'split', 'spread', 'start', 'steer', 'stop', 'stream', 'subscribe', 'sum', 'suspect', 'sweep', 'switch', 'take', 'test', 'thaw', 'to', 'touch',
  'track', 'trim', 'truncate', 'try', 'unsubscribe', 'update', 'use', 'validate', 'verify', 'visit', 'wait', 'watch', 'weigh', 'with', 'write', 'can', 'as', 'main',
];
const VERB_NAME = `^(?:${VERBS.join('|')})(?:[A-Z0-9]\\w*)?$`;

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**'] },
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
  { files: ['packages/core/src/time/**', 'packages/entry/src/time/**'], rules: { 'no-restricted-globals': 'off' } },
  { files: ['vitest.config.ts', 'eslint.config.js'], rules: { 'no-restricted-syntax': 'off' } },
);
