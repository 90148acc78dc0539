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

test('a wrong word suggests the right one', async t => {
  const { code, text } = await run(['timelin'])
  t.is(code, 2)
  t.regex(text, /did you mean timeline\?/)
})

test('a missing option is wrong usage and nothing is asked', async t => {
  const { code, text } = await run(['load', '--entry', 'http://127.0.0.1:1'])
  t.is(code, 2)
  t.regex(text, /--model|--token|Usage/i)
})

test('no daemon at the address is told by its own exit code', async t => {
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
