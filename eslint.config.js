import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Airbnb's rules, with formatting left to prettier (set to Airbnb's widths and quotes). */
export default [
  { ignores: ['node_modules/**', 'dist/**', 'target/**', 'src/generated/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...extensions.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    rules: {
      // Named exports only: an import then names what it takes.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      // NodeNext resolution: relative imports carry their `.js`; the compiler checks them.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      // Tests, stand-ins and measurements may use development packages.
      'import-x/no-extraneous-dependencies': 'off',
      // `for...of` is how a modern Node.js reads; the guide's ban is about transpiled generators.
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries.' },
        { selector: 'LabeledStatement', message: 'Labels hide control flow.' },
        { selector: 'WithStatement', message: 'Not allowed in strict mode.' },
        { selector: 'TSEnumDeclaration', message: 'Use a string union.' },
      ],
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-underscore-dangle': 'off',
      'class-methods-use-this': 'off',
      'max-classes-per-file': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-bitwise': 'off',
      'max-lines': ['error', { max: 400 }],
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    // These print for people; the program itself logs through its one log.
    files: ['tools/**', 'demo/**', 'measure/**', 'standIns/**', 'soak/**'],
    rules: { 'no-console': 'off' },
  },
];
