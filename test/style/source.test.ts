import test from 'ava'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import ts from 'typescript'

const FOLDERS = ['src', 'platform', 'stand-ins', 'harness', 'bench', 'demo']
/** Public API of the package, which re-exports everything that embedders need. */
const PUBLIC_SURFACE = 'src/coordination/index.ts'
const MAX_LINES = 300

const files = FOLDERS.flatMap(folder => readdirSync(folder, { recursive: true, encoding: 'utf8' }).map(name => join(folder, name))).filter(name => name.endsWith('.ts'))
const sources = files.map(file => ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.ES2022, true))
const verbs = new Set([...readFileSync('docs/VERBS.md', 'utf8').matchAll(/^\| ([a-z, ]+) \|/gm)].flatMap(([, list]) => list!.split(', ')))

function listFunctionNames (source: ts.SourceFile): readonly string[] {
  const names: string[] = []
  const visit = (node: ts.Node): void => {
    if (ts.isFunctionDeclaration(node) && node.name !== undefined) names.push(node.name.text)
    ts.forEachChild(node, visit)
  }
  visit(source)
  return names
}

function countExports (source: ts.SourceFile): number {
  return source.statements.filter(statement => ts.isExportDeclaration(statement) || ts.isExportAssignment(statement) ||
    (ts.canHaveModifiers(statement) && ts.getModifiers(statement)?.some(({ kind }) => kind === ts.SyntaxKind.ExportKeyword) === true)).length
}

test('one export per file', t => {
  t.deepEqual(sources.filter(source => source.fileName !== PUBLIC_SURFACE && countExports(source) > 1).map(({ fileName }) => fileName), [])
})

test('a function\'s name begins with a verb of docs/VERBS.md', t => {
  t.true(verbs.size > 50)
  const wrong = sources.flatMap(source => listFunctionNames(source)
    .filter(name => !verbs.has(/^[a-z]+/.exec(name)![0]))
    .map(name => `${source.fileName}: ${name}`))
  t.deepEqual(wrong, [])
})

test('no file is long, and none has a licence banner', t => {
  t.deepEqual(sources.filter(source => source.text.split('\n').length > MAX_LINES).map(({ fileName }) => fileName), [])
  t.deepEqual(sources.filter(source => /licen[cs]e|copyright/i.test(source.text.slice(0, 300))).map(({ fileName }) => fileName), [])
})

// Guards against a reader that takes an answer whose connection was reset for whole.
test('answers are read over agents of http/create-agent only', t => {
  const product = sources.filter(({ fileName }) => /^(src|platform)\//.test(fileName) && fileName !== 'src/http/create-agent.ts')
  const calls = /import \{[^}]*\b(request|fetch)\b[^}]*\} from 'undici'/
  const others = product.filter(({ text }) => /new (Agent|Client|Pool)\(/.test(text) || (calls.test(text) ? !text.includes('dispatcher') : /\bfetch\(/.test(text)))
  t.deepEqual(others.map(({ fileName }) => fileName), [])
})
