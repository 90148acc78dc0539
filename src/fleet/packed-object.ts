import type { StoredObject } from '../store/stored-object.js'

/** An object with its value as compressed CBOR, as it is sent to daemons that accept it. */
export type PackedObject = Omit<StoredObject, 'value'> & { readonly packed: Uint8Array }
