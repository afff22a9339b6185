package org.guavahatch.gateway.endpoint

/** The `Retry-After` header (RFC 9110, section 10.2.3) with a delay in seconds, which may have a fraction. */
internal object RetryAfterHeader {
    private val seconds = Regex("\\d{1,9}(\\.\\d{1,9})?")
    private const val MILLISECONDS_PER_SECOND = 1_000

    /** The delay of [value] in milliseconds, or null if there is none, as in a date or another text. */
    fun delayMilliseconds(value: String?): Long? = value?.trim()?.takeIf(seconds::matches)
        ?.let { (it.toDouble() * MILLISECONDS_PER_SECOND).toLong() }
}
