import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['src/**/*.ts'],
    plugins: { '@typescript-eslint': tseslint.plugin },
    languageOptions: { parser: tseslint.parser, parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      // A promise that nobody waits for is marked with void.
      'no-void': ['error', { allowAsStatement: true }],
      // The compiler checks this, and allows a type and a value of one name.
      '@typescript-eslint/no-redeclare': 'off',
      // The rule does not see that other tasks change a variable while a loop awaits.
      'no-unmodified-loop-condition': 'off',
      'max-lines': ['error', 600]
    }
  }
]
