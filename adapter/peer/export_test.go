package peer

// Credential shows tests what an instance sends.
func Credential(secret []byte) string {
	shown, _ := credential(secret)
	return shown
}
