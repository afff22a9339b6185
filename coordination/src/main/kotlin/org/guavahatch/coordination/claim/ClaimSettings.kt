package org.guavahatch.coordination.claim

/**
 * Settings of a [ClaimKeeper].
 *
 * @property groupMilliseconds how long claims are gathered for one transaction, default 2
 * @property groupSize claims in one transaction at most, 1 to 100, default 50
 * @property retryMilliseconds first pause after a failed call; doubles up to [maximumRetryMilliseconds], default 50
 * @property maximumRetryMilliseconds longest pause between calls, default 1000
 * @property settleMilliseconds how long outcomes and releases are tried before they are given up, default 600 000
 * @property recheckMilliseconds how long after a lost answer a release is checked again, default 10 000
 */
public data class ClaimSettings(
    public val groupMilliseconds: Long = 2,
    public val groupSize: Int = 50,
    public val retryMilliseconds: Long = 50,
    public val maximumRetryMilliseconds: Long = 1000,
    public val settleMilliseconds: Long = 600_000,
    public val recheckMilliseconds: Long = 10_000,
)
