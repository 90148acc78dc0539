export { rankOwners } from './rank-owners.js'
export { GroupCommit } from './group-commit.js'
