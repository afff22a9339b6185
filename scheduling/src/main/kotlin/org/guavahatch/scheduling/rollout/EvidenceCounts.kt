package org.guavahatch.scheduling.rollout

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Cumulative counts of answers. All values are non-negative and never decrease within a gateway lifetime. The lists may
 * be shorter than the number of buckets; missing values are 0.
 *
 * @property answers all counted answers, including [failures] and [lost]
 * @property failures error statuses and unreadable answers
 * @property lost failed connections and silent endpoints
 * @property firstEventBuckets histogram of the time from send to first event, see [DurationBuckets]
 * @property eventIntervalBuckets histogram of the time between events, see [DurationBuckets]
 * @property endpointBuckets timed answers by a hash of the endpoint, see [EndpointSample]
 */
public data class EvidenceCounts(
    public val answers: Long = 0,
    public val failures: Long = 0,
    public val lost: Long = 0,
    public val firstEventBuckets: ImmutableList<Long> = persistentListOf(),
    public val eventIntervalBuckets: ImmutableList<Long> = persistentListOf(),
    public val endpointBuckets: ImmutableList<Long> = persistentListOf(),
)
