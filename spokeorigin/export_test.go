package spokeorigin

// Forget forgets all streams, as another process doesn't know them.
func (r *Records) Forget() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	clear(r.known)
}
