import { Err, Ok, type Result } from 'ts-results'
import type { Order } from './order.js'

/** Parses and validates the body of an order. */
export function readOrder (text: string): Result<Order, string> {
  const body = parse(text)
  if (typeof body?.fencing !== 'number') return Err('fencing: must be a number')
  if (body.kind === 'role') return typeof body.role === 'string' ? Ok(body as unknown as Order) : Err('role: must be text')
  if (body.kind !== 'load' && body.kind !== 'unload') return Err('kind: must be load, unload or role')
  return typeof body.model === 'string' ? Ok(body as unknown as Order) : Err('model: must be text')
}

function parse (text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) ?? undefined
  } catch {
    return undefined
  }
}
