package org.guavahatch.scheduling.rollout

/** A hash of text that is the same in all processes and releases. */
internal object StableHash {
    private const val OFFSET = -3750763034362895579L
    private const val PRIME = 1099511628211L
    private const val MIX_1 = -49064778989728563L
    private const val MIX_2 = -4265267296055464877L

    /** FNV-1a of the UTF-8 bytes of [text], then the finalizer of MurmurHash3, as names often differ in one digit. */
    fun of(text: String): Long {
        var hash = OFFSET
        text.encodeToByteArray().forEach { hash = (hash xor (it.toLong() and 0xff)) * PRIME }
        hash = (hash xor (hash ushr 33)) * MIX_1
        hash = (hash xor (hash ushr 33)) * MIX_2
        return hash xor (hash ushr 33)
    }
}
