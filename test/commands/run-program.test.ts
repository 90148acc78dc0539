import test from 'ava'
import { PassThrough } from 'node:stream'
import 'reflect-metadata'
import { runProgram } from '../../src/commands/run-program.js'
import { suggestWord } from '../../src/kernel/suggest-word.js'

async function run (words: readonly string[]): Promise<{ code: number, text: string }> {
  const out = new PassThrough()
  const code = await runProgram(words, { stdout: out, stderr: out })
  return { code, text: String(out.read() ?? '') }
}

test('an unknown command suggests the closest one', async t => {
  const { code, text } = await run(['timelin'])
  t.is(code, 2)
  t.regex(text, /did you mean timeline\?/)
})

const WRONG: readonly (readonly [string, readonly string[]])[] = [
  ['jobs submt x', ['there is no command jobs submt; did you mean jobs submit?']],
  ['jobs', ['jobs needs one of submit, list, status, results, cancel']],
  ['jobs submit --windw 5h', [
    'jobs submit has no option --windw; did you mean --window?',
    'jobs submit needs --entry, address of a daemon, such as http://10.0.0.1:8080 (or set CITRONWHEEL_ENTRY)',
    'jobs submit needs --token, bearer token (or set CITRONWHEEL_TOKEN)'
  ]],
  ['jobs status --entry x --token y', ['jobs status needs <id>']],
  ['check a b', ['check doesn\'t take b']],
  ['serve --settings', ['serve: an option is missing its value']],
  ['stand-in engine --options {', ['Invalid value for --options: expected a JSON object']],
  ['load --entry x --token y --model z --rate abc', ['Invalid value for --rate: expected a number (got "abc")']]
]

for (const [words, findings] of WRONG) {
  test(`${words}: each usage error is reported, and no request is sent`, async t => {
    const { code, text } = await run(words.split(' '))
    t.is(code, 2)
    for (const finding of findings) t.true(text.includes(finding), text)
  })
}

const HELP: readonly (readonly [string, RegExp])[] = [
  ['', /citronwheel <command>/],
  ['jobs --help', /citronwheel jobs submit\n {2}upload/],
  ['timeline -h', /Examples[^]*--request 79d05a4e/]
]

for (const [words, expected] of HELP) {
  test(`help of "${words}"`, async t => {
    const { code, text } = await run(words.split(' ').filter(word => word !== ''))
    t.is(code, 0)
    t.regex(text, expected)
    t.false(text.includes('#0'))
  })
}

test('a missing option is a usage error and no request is sent', async t => {
  const { code, text } = await run(['load', '--entry', 'http://127.0.0.1:1'])
  t.is(code, 2)
  t.regex(text, /--model|--token|Usage/i)
})

test('an unreachable daemon has its own exit code', async t => {
  const { code, text } = await run(['status', '--entry', 'http://127.0.0.1:1', '--token', 'x'])
  t.is(code, 3)
  t.regex(text, /no daemon answered/)
})

const SUGGESTIONS: readonly (readonly [string, string | undefined])[] = [
  ['aply', 'apply'],
  ['acount', 'account'],
  ['zzzzzzzz', undefined],
  ['x', undefined]
]

for (const [wrong, right] of SUGGESTIONS) {
  test(`${wrong} suggests ${right ?? 'nothing'}`, t => {
    t.is(suggestWord(wrong, ['apply', 'account', 'check']), right)
  })
}
