import { failUnreachable } from '../../kernel/unreachable.js'
import type { Entry } from '../entry.js'
import type { Finding } from './finding.js'
import type { KeySchema } from '../key-schema.js'
import { readDefault } from '../read-default.js'
import { suggestWord } from '../../kernel/suggest-word.js'

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/
/** Longest part of an invalid value that a finding quotes, which limits how much of a misplaced secret is shown. */
const MAX_QUOTED_LENGTH = 24

type Schema<T extends KeySchema['type']> = Extract<KeySchema, { readonly type: T }>

/**
 * Checks an entry against its schema and returns its value with the defaults filled in. Problems are appended to
 * `findings`; the value is valid only if none were.
 */
export function checkEntry (entry: Entry, schema: KeySchema, path: string, findings: Finding[]): unknown {
  const reject = (message: string, at = entry): undefined => {
    findings.push({ ...at.location, message: path === '' ? message : `${path}: ${message}` })
  }
  switch (schema.type) {
    case 'text': return checkText(entry, schema, reject)
    case 'number': return checkNumber(entry, schema, reject)
    case 'boolean': return typeof readScalar(entry) === 'boolean' ? readScalar(entry) : reject('must be true or false')
    case 'choice': return schema.of.includes(readScalar(entry) as string) ? readScalar(entry) : reject(`must be ${schema.of.join(' or ')}`)
    case 'list': return checkList(entry, schema, path, findings, reject)
    case 'map': return checkMap(entry, schema, path, findings, reject)
    case 'object': return checkObject(entry, schema, path, findings, reject)
    default: return failUnreachable(schema)
  }
}

type Reject = (message: string, at?: Entry) => undefined

function readScalar (entry: Entry): unknown {
  return entry.type === 'scalar' ? entry.value : undefined
}

function checkText (entry: Entry, { pattern, minLength = 0, maxLength = 1_000 }: Schema<'text'>, reject: Reject): string | undefined {
  const text = readScalar(entry)
  if (typeof text !== 'string') return reject(typeof text === 'number' || typeof text === 'boolean' ? 'must be text: put it in quotes' : 'must be text')
  if (text.length < minLength) return reject(minLength === 1 ? 'must not be empty' : `must have at least ${minLength} characters`)
  if (text.length > maxLength) return reject(`must have at most ${maxLength} characters`)
  return pattern === undefined || pattern.test(text) ? text : reject(`${JSON.stringify(text.slice(0, MAX_QUOTED_LENGTH))} does not match ${pattern.source}`)
}

function checkNumber (entry: Entry, { whole, min, max, unit }: Schema<'number'>, reject: Reject): number | undefined {
  const number = readScalar(entry)
  if (typeof number !== 'number' || !Number.isFinite(number)) return reject(`must be a number (${unit})`)
  if (whole && !Number.isInteger(number)) return reject('must be a whole number')
  return number >= min && number <= max ? number : reject(`${number} is out of bounds: ${min} to ${max} (${unit})`)
}

function checkList (entry: Entry, { of, maxItems }: Schema<'list'>, path: string, findings: Finding[], reject: Reject): unknown {
  if (entry.type !== 'list') return reject('must be a list')
  if (entry.items.length > maxItems) return reject(`${entry.items.length} items, over the limit of ${maxItems}`)
  return entry.items.map((item, i) => checkEntry(item, of, `${path}[${i}]`, findings))
}

function checkMap (entry: Entry, { of, maxKeys }: Schema<'map'>, path: string, findings: Finding[], reject: Reject): unknown {
  if (entry.type !== 'map') return reject('must be a map of names')
  if (entry.keys.size > maxKeys) return reject(`${entry.keys.size} names, over the limit of ${maxKeys}`)
  const values: Array<[string, unknown]> = []
  for (const [key, value] of entry.keys) {
    if (!NAME_PATTERN.test(key)) reject(`${JSON.stringify(key.slice(0, MAX_QUOTED_LENGTH))} is not a name: letters, digits, and . _ - after the first, at most 100`, value)
    values.push([key, checkEntry(value, of, `${path}.${key}`, findings)])
  }
  return Object.fromEntries(values)
}

function checkObject (entry: Entry, { keys }: Schema<'object'>, path: string, findings: Finding[], reject: Reject): unknown {
  if (entry.type !== 'map') return reject('must be a map of keys')
  for (const [key, value] of entry.keys) {
    if (Object.hasOwn(keys, key)) continue
    const suggestion = suggestWord(key, Object.keys(keys))
    reject(`unknown key ${JSON.stringify(key.slice(0, MAX_QUOTED_LENGTH))}${suggestion === undefined ? `; known keys are ${Object.keys(keys).join(', ')}` : `; did you mean ${suggestion}?`}`, value)
  }
  const values: Record<string, unknown> = {}
  for (const [key, schema] of Object.entries(keys)) {
    const value = entry.keys.get(key)
    const checked = value === undefined ? readDefault(schema, values) : checkEntry(value, schema, path === '' ? key : `${path}.${key}`, findings)
    if (value === undefined && checked === undefined && schema.optional !== true) reject(`missing key ${key}`)
    if (checked !== undefined) values[key] = checked
  }
  return values
}
