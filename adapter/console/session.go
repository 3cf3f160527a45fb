package console

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	cookieName = "rhubarbwick_operator"
	// sessionTTL is the lifetime of a sign-in, one working day.
	sessionTTL = 8 * time.Hour
	// maxOperatorNameBytes equals the maximum length of an author in the document.
	maxOperatorNameBytes = 100
	// maxConcurrentSignIns limits the sign-ins that are checked at the same time. A wrong password occupies a slot for
	// wrongPasswordDelay, so an instance checks at most four wrong passwords each second.
	maxConcurrentSignIns = 4
	wrongPasswordDelay   = time.Second
)

var encoding = base64.RawURLEncoding

// session is the content of a verified cookie. The operator is empty before the sign-in.
type session struct {
	operator string
	cookie   string
}

// cookieSigner creates and verifies session cookies. Its key depends on the operators' password, so changing the
// password ends all sessions.
type cookieSigner struct {
	key []byte
	now port.WallClock
}

func newCookieSigner(secret []byte, passwordSHA256 string, now port.WallClock) cookieSigner {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("console\x00" + passwordSHA256))
	return cookieSigner{key: mac.Sum(nil), now: now}
}

// newSession returns a new session of an operator. With an empty name it is the session of the sign-in form.
func (s cookieSigner) newSession(operatorName string) session {
	var nonce [16]byte
	_, _ = rand.Read(nonce[:])
	expires := strconv.FormatInt(s.now().Add(sessionTTL).Unix(), 10)
	content := encoding.EncodeToString([]byte(operatorName)) + "." + expires + "." + encoding.EncodeToString(nonce[:])
	return session{operator: operatorName, cookie: content + "." + s.mac("cookie", content)}
}

// verify returns the session of the request, and false if its cookie is missing, invalid or expired.
func (s cookieSigner) verify(r *http.Request) (session, bool) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return session{}, false
	}
	separator := strings.LastIndexByte(cookie.Value, '.')
	if separator < 0 || !hmac.Equal([]byte(cookie.Value[separator+1:]), []byte(s.mac("cookie", cookie.Value[:separator]))) {
		return session{}, false
	}
	parts := strings.Split(cookie.Value[:separator], ".")
	if len(parts) != 3 {
		return session{}, false
	}
	name, err := encoding.DecodeString(parts[0])
	expires, numberErr := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || numberErr != nil || s.now().Unix() >= expires {
		return session{}, false
	}
	return session{operator: string(name), cookie: cookie.Value}, true
}

// formToken returns the token that forms of the session contain. It prevents cross-site request forgery, because other
// sites cannot read it.
func (s cookieSigner) formToken(sess session) string { return s.mac("form", sess.cookie) }

func (s cookieSigner) isFormToken(sess session, token string) bool {
	return hmac.Equal([]byte(token), []byte(s.formToken(sess)))
}

func (s cookieSigner) mac(purpose, content string) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(purpose + "\x00" + content))
	return encoding.EncodeToString(mac.Sum(nil))
}

// requireSignIn redirects requests without a signed-in session to the sign-in page, and rejects forms without the
// session's token.
func (c *Console) requireSignIn(next func(http.ResponseWriter, *http.Request, session)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sess, ok := c.cookies.verify(r)
		if !ok || sess.operator == "" {
			http.Redirect(w, r, Root+"sign-in", http.StatusSeeOther)
			return
		}
		if r.Method == http.MethodPost && !c.cookies.isFormToken(sess, r.PostFormValue(tokenField)) {
			c.forbid(w, r, sess, "This form does not belong to your session. Reload the page and repeat the change.")
			return
		}
		next(w, r, sess)
	}
}

func (c *Console) forbid(w http.ResponseWriter, r *http.Request, sess session, problem string) {
	c.render(w, r, sess, page{Title: "Nothing was changed", Status: http.StatusForbidden, Problem: problem})
}

func (c *Console) showSignIn(w http.ResponseWriter, r *http.Request) {
	sess := c.cookies.newSession("")
	c.setCookie(w, r, sess.cookie, int(sessionTTL/time.Second))
	c.render(w, r, sess, signInPage(""))
}

func (c *Console) signIn(w http.ResponseWriter, r *http.Request) {
	sess, ok := c.cookies.verify(r)
	if !ok || !c.cookies.isFormToken(sess, r.PostFormValue(tokenField)) {
		c.forbid(w, r, session{}, "This form does not belong to this browser. Reload the sign-in page.")
		return
	}
	select {
	case c.signInSlots <- struct{}{}:
		defer func() { <-c.signInSlots }()
	default:
		p := signInPage("Too many concurrent sign-ins. Wait a moment and try again.")
		p.Status = http.StatusTooManyRequests
		c.render(w, r, sess, p)
		return
	}
	name := strings.TrimSpace(r.PostFormValue("operator"))
	valid := operator.CheckPassword(c.cfg.PasswordSHA256, r.PostFormValue("password"))
	if !valid || name == "" || len(name) > maxOperatorNameBytes {
		_ = port.Sleep(r.Context(), c.cfg.Timer, wrongPasswordDelay)
		p := signInPage("The name or the password is incorrect.")
		p.Status = http.StatusUnauthorized
		c.render(w, r, sess, p)
		return
	}
	c.setCookie(w, r, c.cookies.newSession(name).cookie, int(sessionTTL/time.Second))
	http.Redirect(w, r, Root, http.StatusSeeOther)
}

func (c *Console) signOut(w http.ResponseWriter, r *http.Request) {
	sess, ok := c.cookies.verify(r)
	if ok && c.cookies.isFormToken(sess, r.PostFormValue(tokenField)) {
		c.setCookie(w, r, "", -1)
	}
	http.Redirect(w, r, Root+"sign-in", http.StatusSeeOther)
}

func (c *Console) setCookie(w http.ResponseWriter, r *http.Request, value string, maxAge int) {
	http.SetCookie(w, &http.Cookie{
		Name:     cookieName,
		Value:    value,
		Path:     Root,
		MaxAge:   maxAge,
		HttpOnly: true,
		Secure:   r.TLS != nil,
		SameSite: http.SameSiteStrictMode,
	})
}
