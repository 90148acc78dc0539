import { Err, Ok, type Result } from 'ts-results'
import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument, type ParsedNode } from 'yaml'
import type { Entry } from './entry.js'
import type { Finding } from './finding.js'
import type { Place } from './place.js'

/** Turns the nodes of one document into entries, collecting what can't be one. */
class EntryReader {
  readonly findings: Finding[] = []

  constructor (private readonly file: string, private readonly lines: LineCounter) {}

  readPlace (offset: number): Place {
    const { line, col } = this.lines.linePos(offset)
    return { file: this.file, line, column: col }
  }

  add (offset: number, message: string): void {
    this.findings.push({ ...this.readPlace(offset), message })
  }

  /** `at` is where to place the entry: at its key, where it has one. */
  read (node: ParsedNode | null, at: number): Entry {
    const shared = { place: this.readPlace(at), replaced: [] }
    if (isMap(node)) return { ...shared, type: 'map', keys: this.readKeys(node.items) }
    if (isSeq(node)) return { ...shared, type: 'list', items: node.items.map(item => this.read(item as ParsedNode, (item as ParsedNode).range[0])) }
    if (isAlias(node)) this.add(node.range[0], `*${node.source}: aliases are not supported; write the value out`)
    return { ...shared, type: 'scalar', value: isScalar(node) ? node.value : null }
  }

  /**
   * Looks for keys that stand twice itself: the parser compares each key with all before it, which took half of the
   * time of a file of 500 callers and would take nine tenths of one of 2,500.
   */
  private readKeys (pairs: ReadonlyArray<{ readonly key: unknown, readonly value: unknown }>): ReadonlyMap<string, Entry> {
    const keys = new Map<string, Entry>()
    const seen = new Set<unknown>()
    for (const { key, value } of pairs as ReadonlyArray<{ key: ParsedNode, value: ParsedNode | null }>) {
      if (!isScalar(key)) this.add(key.range[0], 'a key must be a plain word')
      else if (seen.has(key.value)) this.add(key.range[0], 'Map keys must be unique')
      else keys.set(String(key.value), this.read(value, key.range[0]))
      if (isScalar(key)) seen.add(key.value)
    }
    return keys
  }
}

/** Reads one YAML file; every error in it is a finding with its place. An empty file is an empty map. */
export function decodeFile (file: string, text: string): Result<Entry, readonly Finding[]> {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines, uniqueKeys: false })
  const reader = new EntryReader(file, lines)
  for (const error of document.errors) reader.add(error.pos[0], error.message.split('\n')[0]!.replace(/ at line \d+, column \d+:?$/, ''))
  if (reader.findings.length > 0) return Err(reader.findings)
  const { contents } = document
  const empty = contents === null || (isScalar(contents) && contents.value === null)
  const root: Entry = empty ? { type: 'map', keys: new Map(), place: reader.readPlace(0), replaced: [] } : reader.read(contents, contents.range[0])
  return reader.findings.length > 0 ? Err(reader.findings) : Ok(root)
}
