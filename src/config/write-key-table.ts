import { failUnreachable } from '../kernel/unreachable.js'
import type { KeySchema } from './key-schema.js'

interface Row { readonly path: string, readonly type: string, readonly unit: string, readonly fallback: string, readonly bounds: string, readonly doc: string }

/** Writes the reference of a schema as a Markdown table, one row per key. */
export function writeKeyTable (schema: KeySchema): string {
  const rows = listRows(schema, '').map(({ path, type, unit, fallback, bounds, doc }) => `| \`${path}\` | ${type} | ${unit} | ${fallback} | ${bounds} | ${doc} |`)
  return ['| key | type | unit | default | bounds | meaning |', '|---|---|---|---|---|---|', ...rows].join('\n')
}

function listRows (schema: KeySchema, path: string): readonly Row[] {
  switch (schema.type) {
    case 'object': return Object.entries(schema.keys).flatMap(([key, inner]) => listRows(inner, path === '' ? key : `${path}.${key}`))
    case 'map': return [{ path, ...showRow(schema) }, ...listRows(schema.of, `${path}.NAME`)]
    case 'list': return [{ path, ...showRow(schema) }, ...(schema.of.type === 'object' ? listRows(schema.of, `${path}[]`) : [])]
    case 'text':
    case 'number':
    case 'boolean':
    case 'choice': return [{ path, ...showRow(schema) }]
    default: return failUnreachable(schema)
  }
}

function showRow (schema: KeySchema): Omit<Row, 'path'> {
  const base = { type: schema.type, unit: '', bounds: '', fallback: schema.optional === true ? 'none' : 'must be set', doc: schema.doc }
  switch (schema.type) {
    case 'text': {
      const { pattern, minLength, maxLength, default: fallback = base.fallback } = schema
      const bounds = [pattern && `\`${pattern.source.replaceAll('|', '\\|')}\``, minLength && `at least ${minLength} characters`, maxLength && `at most ${maxLength}`]
      return { ...base, fallback, bounds: bounds.filter(Boolean).join(', ') }
    }
    case 'number': return { ...base, type: schema.whole ? 'whole number' : 'number', unit: schema.unit, fallback: String(schema.default ?? base.fallback), bounds: `${schema.min} to ${schema.max}` }
    case 'boolean': return { ...base, fallback: showBooleanDefault(schema, base.fallback) }
    case 'choice': return { ...base, fallback: schema.default ?? base.fallback, bounds: schema.of.join(', ') }
    case 'list': return { ...base, bounds: `at most ${schema.maxItems}` }
    case 'map': return { ...base, fallback: 'empty', bounds: `at most ${schema.maxKeys}` }
    case 'object': return base
    default: return failUnreachable(schema)
  }
}

function showBooleanDefault ({ default: fallback, defaultBy }: Extract<KeySchema, { type: 'boolean' }>, otherwise: string): string {
  if (defaultBy === undefined) return String(fallback ?? otherwise)
  return Object.entries(defaultBy.values).map(([value, then]) => `${then} where ${defaultBy.key} is ${value}`).join(', ')
}
