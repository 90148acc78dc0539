/** A span, ms, in which a daemon can't be held to its bounds; any daemon where none is named. */
export interface Disturbance { readonly daemon: number | undefined, readonly from: number, readonly to: number }
