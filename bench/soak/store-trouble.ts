/** A fault of the store, which all daemons see. */
export type StoreTrouble = 'busy' | 'limited' | 'silent' | 'slow' | 'loses replies' | 'mutes watches' | 'forgets history' | 'late writes'
