/** A time span in ms in which the bounds don't apply to a daemon, or to any daemon where `daemon` is undefined. */
export interface Disturbance { readonly daemon: number | undefined, readonly from: number, readonly to: number }
