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
	// sessionLife is how long a sign-in lasts: one working day.
	sessionLife = 8 * time.Hour
	// maxOperator is the greatest length of an operator's name in bytes, which is that of an author in the document.
	maxOperator = 100
	// maxAttempts bounds the sign-ins that are checked at once. A wrong password keeps its place for attemptPause, so an
	// instance checks at most four wrong passwords a second.
	maxAttempts  = 4
	attemptPause = time.Second
)

var encoding = base64.RawURLEncoding

// session is what a browser's cookie says. An empty operator has not signed in.
type session struct {
	operator string
	cookie   string
}

// sessions makes and checks cookies. Its key depends on the operators' password, so a new password ends all sign-ins.
type sessions struct {
	key  []byte
	wall port.WallClock
}

func newSessions(secret []byte, passwordSHA256 string, wall port.WallClock) sessions {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("console\x00" + passwordSHA256))
	return sessions{key: mac.Sum(nil), wall: wall}
}

// issue returns the session of an operator, or of a browser that has not signed in.
func (s sessions) issue(operatorName string) session {
	var nonce [16]byte
	_, _ = rand.Read(nonce[:])
	ends := strconv.FormatInt(s.wall().Add(sessionLife).Unix(), 10)
	content := encoding.EncodeToString([]byte(operatorName)) + "." + ends + "." + encoding.EncodeToString(nonce[:])
	return session{operator: operatorName, cookie: content + "." + s.mac("cookie", content)}
}

// read returns the session of a request's cookie, and false when there is none that is in force.
func (s sessions) read(r *http.Request) (session, bool) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return session{}, false
	}
	at := strings.LastIndexByte(cookie.Value, '.')
	if at < 0 || !hmac.Equal([]byte(cookie.Value[at+1:]), []byte(s.mac("cookie", cookie.Value[:at]))) {
		return session{}, false
	}
	parts := strings.Split(cookie.Value[:at], ".")
	if len(parts) != 3 {
		return session{}, false
	}
	name, err := encoding.DecodeString(parts[0])
	ends, numberErr := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || numberErr != nil || s.wall().Unix() >= ends {
		return session{}, false
	}
	return session{operator: string(name), cookie: cookie.Value}, true
}

// formToken returns the token that a form of the session carries. Another site cannot read it.
func (s sessions) formToken(who session) string { return s.mac("form", who.cookie) }

func (s sessions) isFormToken(who session, token string) bool {
	return hmac.Equal([]byte(token), []byte(s.formToken(who)))
}

func (s sessions) mac(use, content string) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(use + "\x00" + content))
	return encoding.EncodeToString(mac.Sum(nil))
}

// signedIn lets a request through whose cookie is that of an operator, and whose form, if it sends one, carries the
// session's token.
func (c *Console) signedIn(next func(http.ResponseWriter, *http.Request, session)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, ok := c.sessions.read(r)
		if !ok || who.operator == "" {
			http.Redirect(w, r, Root+"sign-in", http.StatusSeeOther)
			return
		}
		if r.Method == http.MethodPost && !c.sessions.isFormToken(who, r.PostFormValue(tokenField)) {
			c.refuse(w, r, who, "This form does not belong to your sign-in. Open the page again and repeat the change.")
			return
		}
		next(w, r, who)
	}
}

func (c *Console) refuse(w http.ResponseWriter, r *http.Request, who session, text string) {
	c.render(w, r, who, page{Title: "Nothing was changed", Status: http.StatusForbidden, Problem: text})
}

func (c *Console) showSignIn(w http.ResponseWriter, r *http.Request) {
	who := c.sessions.issue("")
	c.setCookie(w, r, who.cookie, int(sessionLife/time.Second))
	c.render(w, r, who, signInPage(""))
}

func (c *Console) signIn(w http.ResponseWriter, r *http.Request) {
	who, ok := c.sessions.read(r)
	if !ok || !c.sessions.isFormToken(who, r.PostFormValue(tokenField)) {
		c.refuse(w, r, session{}, "This form was not opened in this browser. Open the sign-in page again.")
		return
	}
	select {
	case c.attempts <- struct{}{}:
		defer func() { <-c.attempts }()
	default:
		p := signInPage("Too many sign-ins are being checked. Wait a moment and try again.")
		p.Status = http.StatusTooManyRequests
		c.render(w, r, who, p)
		return
	}
	name := strings.TrimSpace(r.PostFormValue("operator"))
	right := operator.CheckPassword(c.cfg.PasswordSHA256, r.PostFormValue("password"))
	if !right || name == "" || len(name) > maxOperator {
		_ = port.Sleep(r.Context(), c.cfg.Timer, attemptPause)
		p := signInPage("The name or the password is not right.")
		p.Status = http.StatusUnauthorized
		c.render(w, r, who, p)
		return
	}
	c.setCookie(w, r, c.sessions.issue(name).cookie, int(sessionLife/time.Second))
	http.Redirect(w, r, Root, http.StatusSeeOther)
}

func (c *Console) signOut(w http.ResponseWriter, r *http.Request) {
	who, ok := c.sessions.read(r)
	if ok && c.sessions.isFormToken(who, r.PostFormValue(tokenField)) {
		c.setCookie(w, r, "", -1)
	}
	http.Redirect(w, r, Root+"sign-in", http.StatusSeeOther)
}

func (c *Console) setCookie(w http.ResponseWriter, r *http.Request, value string, age int) {
	http.SetCookie(w, &http.Cookie{
		Name:     cookieName,
		Value:    value,
		Path:     Root,
		MaxAge:   age,
		HttpOnly: true,
		Secure:   r.TLS != nil,
		SameSite: http.SameSiteStrictMode,
	})
}
