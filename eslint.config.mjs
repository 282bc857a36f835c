// The house style, as far as a tool can check it; docs/house-style.md explains each line.
import * as fs from "node:fs";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const verbs = fs.readFileSync("docs/verbs.md", "utf8")
    .split("\n")
    .filter(line => line.startsWith("| ") && !line.startsWith("| verb") && !line.startsWith("| ---"))
    .flatMap(line => line.split("|")[1].split(",").map(verb => verb.trim()));
const verbPattern = `^(${verbs.join("|")})([A-Z0-9]|$)`;

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "**/*.cjs", "node_modules/**", ".tap/**", "tap-snapshots/**", "**/*_pb.ts", "**/*.mjs"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        linterOptions: { reportUnusedDisableDirectives: "error" },
        rules: {
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "parameter", modifiers: ["unused"], format: null },
                { selector: "objectLiteralMethod", format: null },
                { selector: "import", format: ["camelCase", "PascalCase"] },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["objectLiteralProperty", "typeProperty"], format: null },
                { selector: "classMethod", modifiers: ["override"], format: null },
                { selector: ["function", "classMethod", "typeMethod"], format: ["camelCase"], custom: { regex: verbPattern, match: true } },
            ],
            "no-restricted-syntax": [
                "error",
                { selector: "ImportDeclaration[importKind!='type'][source.value=/^\\.{1,2}\\//] > ImportSpecifier[importKind!='type']", message: "Import our own modules as namespaces." },
                { selector: "ImportDeclaration[importKind='type'][source.value=/^\\.{1,2}\\//] > ImportSpecifier", message: "Import our own modules as namespaces." },
                { selector: "Literal[value=null][raw='null']", message: "Use undefined in our own data." },
                { selector: "TSEnumDeclaration", message: "Use a union of literals." },
            ],
            "@typescript-eslint/switch-exhaustiveness-check": "off",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/no-unsafe-enum-comparison": "off",
            curly: ["error", "all"],
            eqeqeq: "error",
            "func-style": ["error", "declaration", { allowArrowFunctions: true }],
            "prefer-arrow-callback": "error",
        },
    },
    {
        files: ["src/**/*.ts", "platform/**/*.ts"],
        plugins: { jsdoc },
        rules: {
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
                contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration", "ExportNamedDeclaration > VariableDeclaration", "MethodDefinition[accessibility!='private'][kind!='constructor'][value.type='FunctionExpression']"],
            }],
            "max-lines": ["error", { max: 320 }],
        },
    },
);
