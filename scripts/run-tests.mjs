// Runs the tests. A test listed in KNOWN-RED.txt runs separately: its outcome is printed but doesn't affect the exit code.
import { spawnSync } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const AVA = 'node_modules/.bin/ava'
const LIST = 'KNOWN-RED.txt'
const EXPECTED = 'expected "FILE > TITLE | command and seed | what was seen | issue", where FILE and TITLE name exactly one test, without "*"'
const EXIT_USAGE = 2
/** Tests that bring crowds of clients to a process: they run one at a time, behind all others. */
const CROWDS = join('test', 'clients')

const files = readdirSync('test', { recursive: true }).map(name => join('test', name)).filter(name => name.endsWith('.test.ts')).sort()
const entries = readEntries()
const outcomes = entries.map(runEntry)

const listedFiles = [...new Set(entries.map(({ file }) => file))]
const unlisted = files.filter(file => !listedFiles.includes(file))
const codes = [runFiles(unlisted.filter(file => !file.startsWith(CROWDS))), ...listedFiles.map(runOthers), runFiles(unlisted.filter(file => file.startsWith(CROWDS)), ['--concurrency=1'])]
for (const outcome of outcomes) console.log(outcome)
process.exit(Math.max(...codes))

function readEntries () {
  const lines = existsSync(LIST) ? readFileSync(LIST, 'utf8').split('\n').filter(line => line.trim() !== '') : []
  return lines.map(line => {
    const fields = line.split(' | ')
    const separator = fields[0].indexOf(' > ')
    const [file, title] = [fields[0].slice(0, separator), fields[0].slice(separator + 3)]
    // AVA's title patterns can't escape these characters.
    const isPattern = title.includes('*') || title.startsWith('!')
    if (separator < 0 || title === '' || isPattern || !files.includes(file) || fields.length !== 4) rejectEntry(line)
    return { line, file, title }
  })
}

function rejectEntry (line) {
  console.error(`${LIST}: ${EXPECTED}: ${line}`)
  process.exit(EXIT_USAGE)
}

/** Runs a listed test and returns the line to print about it. */
function runEntry ({ line, file, title }) {
  const { passed, failed, isEmpty } = runMatching(file, [title])
  // Title patterns ignore case, so that a pattern may match several tests.
  const isAmbiguous = [...passed, ...failed].some(other => other !== title && other.toLowerCase() === title.toLowerCase())
  if (isEmpty || isAmbiguous) rejectEntry(line)
  return `${passed.includes(title) ? 'known red, but passed' : 'known red'}: ${line}`
}

function runFiles (names, options = []) {
  return names.length === 0 ? 0 : spawnSync(AVA, [...options, ...names], { stdio: 'inherit' }).status ?? 1
}

/** Runs the tests of a file that aren't listed. */
function runOthers (file) {
  const listed = entries.filter(entry => entry.file === file)
  const { status, output, isEmpty } = runMatching(file, listed.map(({ title }) => `!${title}`))
  if (!isEmpty) console.log(output)
  return isEmpty ? 0 : status
}

function runMatching (file, patterns) {
  const { status, stdout, stderr } = spawnSync(AVA, ['--tap', file, ...patterns.map(pattern => `--match=${pattern}`)], { encoding: 'utf8' })
  const output = `${stdout}${stderr}`
  const [passed, failed] = [listTitles(output, 'ok'), listTitles(output, 'not ok')]
  // AVA fails when no test matches.
  const isEmpty = passed.length + failed.length === 0 && output.includes('\n1..0\n')
  return { status: status ?? 1, output, passed, failed, isEmpty }
}

function listTitles (output, outcome) {
  return [...output.matchAll(new RegExp(`^${outcome} \\d+ - (.*)$`, 'gm'))].map(([, title]) => title.replace(/\\(.)/g, '$1'))
}
