import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { Err, Ok, type Result } from 'ts-results'
import { LineCounter, parseDocument } from 'yaml'
import type { Configuration } from './configuration.js'
import { emptyConfiguration } from './empty-configuration.js'
import type { Finding } from './finding.js'

/** Reads an operators' folder: every .yaml file, merged key by key in the order of their names. */
export function readFolder (folder: string): Result<Omit<Configuration, 'version'>, readonly Finding[]> {
  const findings: Finding[] = []
  let merged: Record<string, unknown> = {}
  for (const file of readdirSync(folder).filter(name => name.endsWith('.yaml')).sort()) {
    const lines = new LineCounter()
    const document = parseDocument(readFileSync(join(folder, file), 'utf8'), { lineCounter: lines })
    for (const error of document.errors) {
      const { line, col } = lines.linePos(error.pos[0])
      findings.push({ file, line, column: col, message: error.message.split('\n')[0]! })
    }
    merged = mergeValues(merged, document.toJS() ?? {}) as Record<string, unknown>
  }
  if (findings.length > 0) return Err(findings)
  const { version, ...defaults } = emptyConfiguration
  return Ok(mergeValues(defaults, merged) as Omit<Configuration, 'version'>)
}

function mergeValues (earlier: unknown, later: unknown): unknown {
  if (!isRecord(earlier) || !isRecord(later)) return later
  const merged: Record<string, unknown> = { ...earlier }
  for (const [key, value] of Object.entries(later)) merged[key] = key in earlier ? mergeValues(earlier[key], value) : value
  return merged
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
