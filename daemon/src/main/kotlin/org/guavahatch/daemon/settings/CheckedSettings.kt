package org.guavahatch.daemon.settings

import org.guavahatch.model.check.ProblemCollector

private const val MAXIMUM_PORT = 65_535L
private const val MAXIMUM_KEYS = 4
private const val MINIMUM_KEY_CHARACTERS = 16
private const val MINIMUM_SILENCE_HEARTBEATS = 3

/** Settings that can validate their values. */
internal interface CheckedSettings {
    /** Reports all invalid values to [problems]. */
    fun check(problems: ProblemCollector)
}

/** Requires that [port] is a valid TCP port. */
internal fun ProblemCollector.requirePort(name: String, port: Int) {
    requireRange("$.$name", port.toLong(), 1L..MAXIMUM_PORT, "")
}

/** Requires that [url] is an HTTP or HTTPS URL without a trailing slash, so that paths can be appended. */
internal fun ProblemCollector.requireUrl(name: String, url: String) {
    require(url.startsWith("http://") || url.startsWith("https://"), "$.$name", url) {
        "The address must start with http:// or https://."
    }
    require(!url.endsWith("/"), "$.$name", url) { "The address must not end with '/'." }
}

/** Checks the number and the length of [keys]. Problems do not contain the keys, because they are secret. */
internal fun ProblemCollector.requireKeys(name: String, keys: List<String>) {
    require(keys.size in 1..MAXIMUM_KEYS, "$.$name", "${keys.size} keys") { "Allowed are 1 to $MAXIMUM_KEYS keys." }
    keys.forEachIndexed { index, key ->
        require(key.length >= MINIMUM_KEY_CHARACTERS, "$.$name[$index]", "${key.length} characters") {
            "A key must have at least $MINIMUM_KEY_CHARACTERS characters."
        }
    }
}

/** Requires that [silenceMilliseconds] is at least [MINIMUM_SILENCE_HEARTBEATS] heartbeat intervals. */
internal fun ProblemCollector.requireSilence(heartbeatMilliseconds: Long, silenceMilliseconds: Long) {
    val allowed = MINIMUM_SILENCE_HEARTBEATS * heartbeatMilliseconds..60_000L
    requireRange("$.silenceMilliseconds", silenceMilliseconds, allowed, "ms")
}
