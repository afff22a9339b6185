package org.guavahatch.gateway.endpoint

/** The `Keep-Alive` header (RFC 2068, section 19.7.1.1). */
internal object KeepAliveHeader {
    private val timeout = Regex("timeout\\s*=\\s*(\\d+)", RegexOption.IGNORE_CASE)
    private const val MILLISECONDS_PER_SECOND = 1_000L

    /** The `timeout` parameter of [value] in milliseconds, or null. */
    fun timeoutMilliseconds(value: String?): Long? =
        value?.let { timeout.find(it) }?.groupValues?.get(1)?.toLongOrNull()?.times(MILLISECONDS_PER_SECOND)
}
