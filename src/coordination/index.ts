export { rankOwners } from './rank-owners.js'
