package org.guavahatch.daemon.transport

import org.guavahatch.model.identity.Incarnation
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * The shared keys that authenticate connections between processes. The first key is used to sign and all keys are
 * accepted, so that keys can be rotated one process at a time.
 */
internal class KeyRing(private val keys: List<String>) {
    /** Returns a new random challenge. */
    fun newChallenge(): String = HexFormat.of().formatHex(ByteArray(CHALLENGE_BYTES).also(random::nextBytes))

    /** Signs [challenge] for [signer] with the first key. */
    fun sign(challenge: String, signer: Incarnation): String = sign(keys.first(), challenge, signer)

    /** Whether [signature] is the signature of [challenge] by [signer] with one of the keys. */
    fun verifies(signature: String, challenge: String, signer: Incarnation): Boolean =
        keys.any { MessageDigest.isEqual(sign(it, challenge, signer).toByteArray(), signature.toByteArray()) }

    private fun sign(key: String, challenge: String, signer: Incarnation): String {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(key.toByteArray(), ALGORITHM))
        return HexFormat.of().formatHex(mac.doFinal("$challenge/${signer.value}".toByteArray()))
    }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val CHALLENGE_BYTES = 16
        val random = SecureRandom()
    }
}
