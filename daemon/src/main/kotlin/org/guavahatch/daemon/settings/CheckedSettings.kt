package org.guavahatch.daemon.settings

import org.guavahatch.model.check.ProblemCollector

private const val LARGEST_PORT = 65_535L
private const val MOST_KEYS = 4
private const val SHORTEST_KEY = 16
private const val HEARTBEATS_OF_SILENCE = 3

/** Settings that can check their values against each other and against ranges. */
internal interface CheckedSettings {
    /** Reports everything that is wrong to [problems]. */
    fun check(problems: ProblemCollector)
}

internal fun ProblemCollector.requirePort(name: String, port: Int) {
    requireRange("$.$name", port.toLong(), 1L..LARGEST_PORT, "")
}

internal fun ProblemCollector.requireUrl(name: String, url: String) {
    require(url.startsWith("http://") || url.startsWith("https://"), "$.$name", url) {
        "An address that starts with http:// or https:// is needed here."
    }
    require(!url.endsWith("/"), "$.$name", url) { "The address must not end with '/'." }
}

/** Checks keys without quoting them, since they are secret. */
internal fun ProblemCollector.requireKeys(name: String, keys: List<String>) {
    require(keys.size in 1..MOST_KEYS, "$.$name", "${keys.size} keys") { "Allowed are 1 to $MOST_KEYS keys." }
    keys.forEachIndexed { index, key ->
        require(key.length >= SHORTEST_KEY, "$.$name[$index]", "${key.length} characters") {
            "A key needs at least $SHORTEST_KEY characters."
        }
    }
}

internal fun ProblemCollector.requireSilence(heartbeatMilliseconds: Long, silenceMilliseconds: Long) {
    val allowed = HEARTBEATS_OF_SILENCE * heartbeatMilliseconds..60_000L
    requireRange("$.silenceMilliseconds", silenceMilliseconds, allowed, "ms")
}
