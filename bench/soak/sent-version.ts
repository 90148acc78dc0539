/** A configuration version and when the store confirmed it. `hasExtra`: whether it has the route `/extra`, which every second version has. */
export interface SentVersion { readonly version: number, readonly at: number, readonly hasExtra: boolean }
