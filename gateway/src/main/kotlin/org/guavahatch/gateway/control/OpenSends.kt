package org.guavahatch.gateway.control

/** Numbers of this gateway's open sends by pool and version. */
internal class OpenSends {
    private val counts = HashMap<Pair<String, String?>, Int>()

    /** A send to an endpoint of [pool] with [version] has begun. */
    fun add(pool: String, version: String?) {
        counts.merge(pool to version, 1, Int::plus)
    }

    /** A send to an endpoint of [pool] with [version] has ended. */
    fun remove(pool: String, version: String?) {
        counts.computeIfPresent(pool to version) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Number of open sends of [pool] to other versions than [version]. */
    fun countOther(pool: String, version: String): Int =
        counts.entries.sumOf { (key, count) -> if (key.first == pool && key.second != version) count else 0 }
}
