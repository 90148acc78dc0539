interface BaseSchema {
  /** Description for the reference page, in one sentence. */
  readonly doc: string
  /** Whether the key may be omitted although it has no default. */
  readonly optional?: boolean
}

/** Schema of one key. File checks, defaults and the reference page are derived from it. */
export type KeySchema =
  | BaseSchema & { readonly type: 'text', readonly default?: string, readonly pattern?: RegExp, readonly minLength?: number, readonly maxLength?: number }
  | BaseSchema & { readonly type: 'number', readonly unit: string, readonly whole: boolean, readonly min: number, readonly max: number, readonly default?: number }
  | BaseSchema & { readonly type: 'boolean', readonly default?: boolean, /** Default that depends on a sibling key. */ readonly defaultBy?: { readonly key: string, readonly values: Readonly<Record<string, boolean>> } }
  | BaseSchema & { readonly type: 'choice', readonly of: readonly string[], readonly default?: string }
  | BaseSchema & { readonly type: 'list', readonly of: KeySchema, readonly maxItems: number }
  | BaseSchema & { readonly type: 'map', readonly of: KeySchema, readonly maxKeys: number }
  | BaseSchema & { readonly type: 'object', readonly keys: Readonly<Record<string, KeySchema>> }
