import test from 'ava'
import { formatLogLine } from '../../src/observe/format-log-line.js'
import { parseLogLine } from '../../src/observe/parse-log-line.js'

const head = { level: 'info', message: 'starts', timestamp: new Date(1_000), instance: 'd-1', part: 'kernel' }
const read = (fields: Readonly<Record<string, unknown>>): unknown => parseLogLine(formatLogLine(head, fields).trimEnd(), { file: 'f', number: 1 })

// Who reads the logs would miss a line, or take it for another daemon's, if a field replaced what every line has.
test('every line has its time, daemon, level, part and message, whatever its fields are named', t => {
  const known = { file: 'f', number: 1, time: 1_000, instance: 'd-1', level: 'info', part: 'kernel', message: 'starts' }
  t.deepEqual(read({ role: 'entry', left: undefined, server: 'ü\n"' }), { ...known, fields: { role: 'entry', server: 'ü\n"' } })
  t.deepEqual(read({ instance: 'other', timestamp: 'never', message: 1 }), { ...known, fields: {} })
})

// An exception for a field that JSON can't hold would end the request that the line is about.
test('a line with a field that JSON has no form for is written', t => {
  const circle: Record<string, unknown> = {}
  circle.itself = circle
  t.like(read({ size: 10n }), { fields: { size: '10' } })
  t.like(read({ circle }), { message: 'starts', instance: 'd-1' })
  t.is(formatLogLine(head, { circle }).split('\n').length, 2)
})
