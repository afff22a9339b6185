package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/**
 * A client key as it is stored: the key itself is nowhere kept.
 *
 * @property salt text that goes before the key in the hash
 * @property hash SHA-256 of salt and key, in hexadecimal digits
 */
@Serializable
public data class HashedKey(public val salt: String, public val hash: String) {
    /** Whether [key] is the key that this hash was made of. Takes the same time for every key of the same length. */
    public fun matches(key: String): Boolean =
        MessageDigest.isEqual(digest(salt, key).toByteArray(), hash.lowercase().toByteArray())

    public companion object {
        /** Hashes [key] with [salt]. */
        public fun of(salt: String, key: String): HashedKey = HashedKey(salt, digest(salt, key))

        private fun digest(salt: String, key: String): String {
            val bytes = MessageDigest.getInstance("SHA-256").digest((salt + key).toByteArray())
            return HexFormat.of().formatHex(bytes)
        }
    }
}
