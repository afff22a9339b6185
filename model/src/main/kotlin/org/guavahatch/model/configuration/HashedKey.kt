package org.guavahatch.model.configuration

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/**
 * The salted hash of a client key. The key itself is not stored.
 *
 * @property salt text that is prepended to the key before hashing
 * @property hash SHA-256 hash of the salt followed by the key, as hexadecimal digits
 */
@Serializable
public data class HashedKey(public val salt: String, public val hash: String) {
    /** Returns whether [key] matches this hash. Takes the same time for all keys of the same length. */
    public fun matches(key: String): Boolean =
        MessageDigest.isEqual(digest(salt, key).toByteArray(), hash.lowercase().toByteArray())

    public companion object {
        /** Returns the hash of [key] with [salt]. */
        public fun of(salt: String, key: String): HashedKey = HashedKey(salt, digest(salt, key))

        private fun digest(salt: String, key: String): String {
            val bytes = MessageDigest.getInstance("SHA-256").digest((salt + key).toByteArray())
            return HexFormat.of().formatHex(bytes)
        }
    }
}
