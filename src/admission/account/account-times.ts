/**
 * Histograms of answer times by `service/first token` and `service/whole answer`: counts by the lowest time of each bucket, in
 * ms. In this form they are added, subtracted and merged as other counts are.
 */
export type AccountTimes = Readonly<Record<string, Readonly<Record<string, number>>>>
