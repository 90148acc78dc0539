import type { KeySchema } from './key-schema.js'

/** A schema for each key of `T`; a key added to the type doesn't compile without a schema. */
export type KeySchemas<T> = { readonly [K in keyof Required<T>]: KeySchema }
