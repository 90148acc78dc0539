interface BaseSchema {
  /** One sentence for the reference page. */
  readonly doc: string
  /** Whether the key may be left out although it has no default. */
  readonly optional?: boolean
}

/** What one key may hold. The check of files, the defaults and the reference page all follow from it. */
export type KeySchema =
  | BaseSchema & { readonly type: 'text', readonly default?: string, readonly pattern?: RegExp, readonly minLength?: number, readonly maxLength?: number }
  | BaseSchema & { readonly type: 'number', readonly unit: string, readonly whole: boolean, readonly min: number, readonly max: number, readonly default?: number }
  | BaseSchema & { readonly type: 'boolean', readonly default?: boolean, /** Default that follows from the key beside it. */ readonly defaultBy?: { readonly key: string, readonly values: Readonly<Record<string, boolean>> } }
  | BaseSchema & { readonly type: 'choice', readonly of: readonly string[], readonly default?: string }
  | BaseSchema & { readonly type: 'list', readonly of: KeySchema, readonly maxItems: number }
  | BaseSchema & { readonly type: 'map', readonly of: KeySchema, readonly maxKeys: number }
  | BaseSchema & { readonly type: 'object', readonly keys: Readonly<Record<string, KeySchema>> }
