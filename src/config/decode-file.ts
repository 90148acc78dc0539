import { Err, Ok, type Result } from 'ts-results'
import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument, type ParsedNode } from 'yaml'
import type { Entry } from './entry.js'
import type { Finding } from './check/finding.js'
import type { SourceLocation } from './source-location.js'

/** Converts the YAML nodes of one document to entries and collects findings for unsupported nodes. */
class EntryReader {
  readonly findings: Finding[] = []

  constructor (private readonly file: string, private readonly lines: LineCounter) {}

  getLocation (offset: number): SourceLocation {
    const { line, col } = this.lines.linePos(offset)
    return { file: this.file, line, column: col }
  }

  addFinding (offset: number, message: string): void {
    this.findings.push({ ...this.getLocation(offset), message })
  }

  /** Converts a node; `offset` is its location: that of its key if it has one. */
  readEntry (node: ParsedNode | null, offset: number): Entry {
    const base = { location: this.getLocation(offset), replaced: [] }
    if (isMap(node)) return { ...base, type: 'map', keys: this.readKeys(node.items) }
    if (isSeq(node)) return { ...base, type: 'list', items: node.items.map(item => this.readEntry(item as ParsedNode, (item as ParsedNode).range[0])) }
    if (isAlias(node)) this.addFinding(node.range[0], `*${node.source}: aliases are not supported; write the value out`)
    return { ...base, type: 'scalar', value: isScalar(node) ? node.value : null }
  }

  /**
   * Detects duplicate keys itself, since the parser's own check is quadratic in the number of keys: it takes half of the time of a file
   * of 500 callers, and would take nine tenths of one of 2,500.
   */
  private readKeys (pairs: ReadonlyArray<{ readonly key: unknown, readonly value: unknown }>): ReadonlyMap<string, Entry> {
    const keys = new Map<string, Entry>()
    const seen = new Set<unknown>()
    for (const { key, value } of pairs as ReadonlyArray<{ key: ParsedNode, value: ParsedNode | null }>) {
      if (!isScalar(key)) this.addFinding(key.range[0], 'a key must be a scalar')
      else if (seen.has(key.value)) this.addFinding(key.range[0], 'duplicate key')
      else keys.set(String(key.value), this.readEntry(value, key.range[0]))
      if (isScalar(key)) seen.add(key.value)
    }
    return keys
  }
}

/** Parses one YAML file; each error is a finding with its location. An empty file is an empty map. */
export function decodeFile (file: string, text: string): Result<Entry, readonly Finding[]> {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines, uniqueKeys: false })
  const reader = new EntryReader(file, lines)
  for (const error of document.errors) reader.addFinding(error.pos[0], error.message.split('\n')[0]!.replace(/ at line \d+, column \d+:?$/, ''))
  if (reader.findings.length > 0) return Err(reader.findings)
  const { contents } = document
  const empty = contents === null || (isScalar(contents) && contents.value === null)
  const root: Entry = empty ? { type: 'map', keys: new Map(), location: reader.getLocation(0), replaced: [] } : reader.readEntry(contents, contents.range[0])
  return reader.findings.length > 0 ? Err(reader.findings) : Ok(root)
}
