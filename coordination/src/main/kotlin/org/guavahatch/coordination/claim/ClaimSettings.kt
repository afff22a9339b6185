package org.guavahatch.coordination.claim

/**
 * Settings of a [ClaimStore].
 *
 * @property batchDelayMilliseconds how long inserts are collected into one transaction, default 2
 * @property maximumBatchSize maximum number of inserts in one transaction, 1 to 100, default 50
 * @property initialRetryDelayMilliseconds delay before the first retry, default 50; doubles with each retry up to
 * [maximumRetryDelayMilliseconds]
 * @property maximumRetryDelayMilliseconds maximum delay between retries, default 1000
 * @property retryTimeoutMilliseconds how long recording a response or releasing a claim is retried, default 600 000
 * @property releaseRecheckDelayMilliseconds delay before a release is repeated because an insert may still take effect,
 * default 10 000
 */
public data class ClaimSettings(
    public val batchDelayMilliseconds: Long = 2,
    public val maximumBatchSize: Int = 50,
    public val initialRetryDelayMilliseconds: Long = 50,
    public val maximumRetryDelayMilliseconds: Long = 1000,
    public val retryTimeoutMilliseconds: Long = 600_000,
    public val releaseRecheckDelayMilliseconds: Long = 10_000,
)
