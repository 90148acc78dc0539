// Replaces the colours of winston's text format; the daemon writes JSON.
module.exports = {}
