/** The kinds of object that watchers follow, in the order in which heartbeats name them. */
export const watchedKinds = ['configuration', 'instances'] as const
