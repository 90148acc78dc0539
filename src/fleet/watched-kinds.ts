/** The kinds of object that watchers follow, in the order of their values in heartbeats. */
export const watchedKinds = ['configuration', 'instances'] as const
